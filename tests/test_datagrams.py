"""Tests of the UDP endpoint and its MAC."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from shallotshore.caller_messages import CallerClose, CallerData, FabricPacket
from shallotshore.codes import Code
from shallotshore.control_messages import Delta, RevisionNotice
from shallotshore.datagrams import DatagramEndpoint, decode_datagram, encode_datagram
from shallotshore.messages import Address, Message, Source
from shallotshore.security import MacKeys, MaterialError
from shallotshore.systems import Counters
from shallotshore.upstream_messages import UpstreamProbe
from tests.loopback import free_address, wait_until

OLD, NEW = b"o" * 32, b"n" * 32


class FrameTest(unittest.TestCase):
    """Guards against accepting forged messages from outside the system."""

    def test_a_frame_of_another_key_is_refused(self) -> None:
        frame = encode_datagram(RevisionNotice(7), MacKeys((OLD,))).unwrap()
        self.assertEqual(decode_datagram(frame, MacKeys((OLD,))).unwrap(), RevisionNotice(7))
        self.assertEqual(decode_datagram(frame, MacKeys((NEW,))), Err(Code.MESSAGE_NOT_AUTHENTIC))

    def test_every_changed_bit_is_detected(self) -> None:
        keys = MacKeys((OLD,))
        frame = encode_datagram(RevisionNotice(7), keys).unwrap()
        for bit in range(8, len(frame) * 8):
            forged = bytearray(frame)
            forged[bit // 8] ^= 1 << bit % 8
            self.assertTrue(decode_datagram(bytes(forged), keys).is_err(), bit)

    def test_both_keys_are_accepted_during_rotation(self) -> None:
        rotating = MacKeys((NEW, OLD))
        for keys in (MacKeys((OLD,)), MacKeys((NEW,)), rotating):
            frame = encode_datagram(RevisionNotice(7), keys).unwrap()
            self.assertTrue(decode_datagram(frame, rotating).is_ok())

    def test_a_file_that_could_not_be_read_is_read_again(self) -> None:
        """Guards against a withdrawn key that stays in use, since one read of its file failed."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "keys"
            path.write_text(OLD.hex())
            keys = MacKeys.from_file(path)
            path.write_text(NEW.hex() + "\n")
            failing = mock.patch(
                "shallotshore.security._read_keys", side_effect=MaterialError("busy")
            )
            with failing, self.assertRaises(MaterialError):
                keys.reload()
            self.assertTrue(keys.reload())
            self.assertFalse(keys.reload())
        frame = encode_datagram(RevisionNotice(7), MacKeys((OLD,))).unwrap()
        self.assertTrue(decode_datagram(frame, keys).is_err())

    def test_callers_messages_carry_no_mac(self) -> None:
        packet = FabricPacket(("10.0.0.1", 1), ("10.0.0.2", 2), CallerClose(3))
        frame = encode_datagram(packet, MacKeys((OLD,))).unwrap()
        self.assertEqual(decode_datagram(frame, MacKeys((NEW,))).unwrap(), packet)

    def test_control_messages_are_not_accepted_as_datagrams(self) -> None:
        delta = Delta(Source.CONFIGURATION, 0, 1, 0, 0, 1, ())
        frame = encode_datagram(delta, MacKeys((OLD,))).unwrap()
        self.assertEqual(decode_datagram(frame, MacKeys((OLD,))), Err(Code.MESSAGE_KIND_UNKNOWN))

    @settings(max_examples=500, derandomize=True, deadline=None, database=None)
    @given(st.binary(max_size=100))
    def test_random_frames_give_a_code(self, frame: bytes) -> None:
        decoded = decode_datagram(frame, MacKeys((OLD,)))
        if isinstance(decoded, Err):
            self.assertEqual(decoded.err_value // 100, 6)


class KeyFileTest(unittest.TestCase):
    """Guards against a key rotation that needs a restart, or that a bad key file stops."""

    def test_changed_key_file_is_loaded_and_a_bad_one_is_not(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "keys"
            path.write_text(OLD.hex())
            keys = MacKeys.from_file(path)
            self.assertFalse(keys.reload())
            path.write_text(f"{NEW.hex()}\n{OLD.hex()}\n")
            self.assertTrue(keys.reload())
            self.assertEqual(keys.sign(b"data"), MacKeys((NEW,)).sign(b"data"))
            path.write_text("no key")
            self.assertRaises(MaterialError, keys.reload)
            self.assertTrue(keys.verify(b"data", MacKeys((OLD,)).sign(b"data")))


class EndpointTest(unittest.IsolatedAsyncioTestCase):
    """Guards against messages lost, sent or accepted wrongly at real sockets."""

    async def open(self, allowed_plain_source: Address | None = None) -> DatagramEndpoint:
        self.received: list[tuple[Address, Message]] = []
        self.counters = Counters()
        endpoint = DatagramEndpoint(
            free_address(),
            MacKeys((OLD,)),
            self.counters,
            lambda source, message: self.received.append((source, message)),
            allowed_plain_source,
        )
        await endpoint.start()
        self.addAsyncCleanup(endpoint.close)
        return endpoint

    async def test_messages_arrive_with_their_source(self) -> None:
        first, second = await self.open(), await self.open()
        for revision in range(300):
            first.send(second._address, RevisionNotice(revision))
        await wait_until(lambda: len(self.received) == 300)
        self.assertEqual(self.received[299], (first._address, RevisionNotice(299)))

    async def test_names_are_not_resolved(self) -> None:
        # Resolving a name blocks the event loop, and senders choose the hosts in their messages.
        endpoint = await self.open()
        with mock.patch("socket.getaddrinfo", side_effect=AssertionError):
            endpoint.send(("host.invalid", 53), RevisionNotice(1))
        self.assertEqual(self.counters["datagrams.unsent.no_ip_number"], 1)

    async def test_too_large_messages_are_counted_and_not_sent(self) -> None:
        endpoint = await self.open()
        endpoint.send(endpoint._address, CallerData(1, bytes(70_000)))
        self.assertEqual(self.counters["datagrams.unsent.message_too_large"], 1)

    async def test_messages_without_mac_are_accepted_from_the_upstream_only(self) -> None:
        stranger = await self.open()
        endpoint = await self.open(allowed_plain_source=("127.0.0.1", 1))
        stranger.send(endpoint._address, UpstreamProbe(1))
        await wait_until(lambda: self.counters["datagrams.refused.plain_source"] == 1)
        self.assertEqual(self.received, [])

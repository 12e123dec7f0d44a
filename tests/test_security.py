"""Tests of mutual TLS between processes; the keys in tests/data/tls are for these tests only."""

import asyncio
import shutil
import ssl
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from shallotshore.application import Application, ApplicationConfig
from shallotshore.codes import Code
from shallotshore.control import CallFailedError, ControlClient
from shallotshore.control_messages import StatusRequest
from shallotshore.security import MaterialError, TlsFiles, TlsMaterial
from shallotshore.systems import Core, Counters
from tests.loopback import free_address, wait_until

DATA = Path(__file__).parent / "data" / "tls"


class MutualTlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against serving peers of another authority or name, and against missed renewals."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.install_certificate("first")
        shutil.copy(DATA / "authority.pem", self.folder / "authority.pem")
        files = TlsFiles(
            self.folder / "authority.pem",
            self.folder / "cert.pem",
            self.folder / "key",
            "shallotshore",
        )
        self.core, self.address = Core(), free_address()
        config = ApplicationConfig(self.address, tls=TlsMaterial(files))
        self.application = Application(self.core, config)
        await self.application.start()
        self.addAsyncCleanup(self.application.close)

    def install_certificate(self, name: str) -> None:
        shutil.copy(DATA / f"{name}.key", self.folder / "key")
        shutil.copy(DATA / f"{name}.pem", self.folder / "cert.pem")

    async def request_status(self, name: str | None) -> None:
        """Requests the status with a certificate of tests/data/tls, or in plain text for None."""
        tls = None
        if name is not None:
            files = (DATA / "authority.pem", DATA / f"{name}.pem", DATA / f"{name}.key")
            tls = TlsMaterial(TlsFiles(*files, "shallotshore"))
        client = ControlClient(("127.0.0.1", 9), tls, Counters())
        try:
            await client.status(self.address, StatusRequest(0))
        finally:
            await client.close()

    async def served_certificate(self) -> str:
        return await asyncio.to_thread(ssl.get_server_certificate, self.address)

    async def test_a_peer_with_our_certificate_is_served(self) -> None:
        await self.request_status("first")

    async def test_peers_without_our_certificate_are_refused(self) -> None:
        for name in ("foreign", None):
            with self.subTest(name), self.assertRaises(CallFailedError):
                await self.request_status(name)

    async def test_our_certificate_of_another_name_is_refused_and_counted(self) -> None:
        with self.assertRaises(CallFailedError) as caught:
            await self.request_status("other")
        self.assertEqual(caught.exception.code, Code.PEER_NOT_AUTHENTIC)
        self.assertEqual(self.core.counters["control.refused.peer_not_authentic"], 1)

    async def test_renewed_certificates_are_served_without_restart(self) -> None:
        before = await self.served_certificate()
        self.install_certificate("renewed")
        renewed = (DATA / "renewed.pem").read_text()
        async with asyncio.timeout(10):
            while (served := await self.served_certificate()) == before:
                await asyncio.sleep(0.05)
        self.assertEqual(served, renewed)
        await self.request_status("renewed")
        await self.request_status("first")

    async def test_a_half_written_renewal_keeps_the_certificates_in_force(self) -> None:
        before = await self.served_certificate()
        shutil.copy(DATA / "renewed.pem", self.folder / "cert.pem")
        await wait_until(lambda: self.core.counters["security.renewal_failed"])
        self.assertEqual(await self.served_certificate(), before)
        self.install_certificate("renewed")
        async with asyncio.timeout(10):
            while await self.served_certificate() == before:
                await asyncio.sleep(0.05)

    async def test_certificates_are_renewed_after_an_unexpected_error(self) -> None:
        """Guards against a withdrawn certificate that is served until the process ends."""
        before = await self.served_certificate()
        with mock.patch.object(Application, "_renew_tls", side_effect=KeyError("unexpected")):
            self.install_certificate("renewed")
            await wait_until(lambda: self.core.counters["security.renewal_failed"])
        async with asyncio.timeout(10):
            while await self.served_certificate() == before:
                await asyncio.sleep(0.05)

    async def test_renewal_cuts_no_handshake(self) -> None:
        """Guards against calls of peers that fail while the certificates are renewed.

        The server was replaced by a new one, and the handshakes in progress at the old one were
        cut.
        """
        errors: list[Exception] = []
        is_renewing = True

        async def connect() -> None:
            while is_renewing:
                try:
                    await self.served_certificate()
                except OSError as error:
                    errors.append(error)

        callers = [asyncio.ensure_future(connect()) for _ in range(8)]
        for name in ("renewed", "first", "renewed"):
            before = self.core.counters["security.renewal_failed"]
            self.install_certificate(name)
            await asyncio.sleep(1.2)
            self.assertEqual(before, self.core.counters["security.renewal_failed"])
        is_renewing = False
        await asyncio.gather(*callers)
        self.assertEqual([], errors)
        self.assertEqual((DATA / "renewed.pem").read_text(), await self.served_certificate())

    async def test_new_authority_ends_open_connections(self) -> None:
        """Guards against a withdrawn certificate in use on a connection that stays open."""
        files = (DATA / "authority.pem", DATA / "first.pem", DATA / "first.key")
        client = ControlClient(
            ("127.0.0.1", 9), TlsMaterial(TlsFiles(*files, "shallotshore")), Counters()
        )
        self.addAsyncCleanup(client.close)
        await client.status(self.address, StatusRequest(0))
        shutil.copy(DATA / "foreign.pem", self.folder / "authority.pem")
        async with asyncio.timeout(10):
            with self.assertRaises(CallFailedError):
                while True:
                    await client.status(self.address, StatusRequest(0))
                    await asyncio.sleep(0.1)

    def test_missing_files_are_named(self) -> None:
        with self.assertRaisesRegex(MaterialError, "/missing"):
            TlsMaterial(TlsFiles(Path("/missing"), Path("/missing"), Path("/missing"), "x"))

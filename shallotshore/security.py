"""Keys of the datagram MAC and TLS material, both read from files and renewed without restart."""

__all__ = [
    "MAC_BYTES",
    "MacKeys",
    "MaterialError",
    "TlsFiles",
    "TlsMaterial",
    "is_ip_address",
    "is_loopback",
]

import hmac
import ipaddress
import ssl
from functools import lru_cache
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple, Protocol

import grpc

MAC_BYTES = 8
_ALLOWED_KEY_BYTES = range(16, 65)  # blake2b accepts at most 64
_MAX_KEYS = 2


class MaterialError(Exception):
    """A file with keys or certificates cannot be used."""


def is_loopback(host: str) -> bool:
    """Returns whether a host is a loopback IP address."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


@lru_cache(maxsize=4096)
def is_ip_address(host: str) -> bool:
    """Returns whether a host is an IP address; sending to a host name would block on a resolver."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class MacKeys:
    """Keys of the MAC on datagrams between the system's processes.

    The first key signs; a MAC made with any of the keys is accepted. To rotate, append the new key
    as the second line everywhere, then swap the lines everywhere, then remove the old key.
    """

    __slots__ = ("_keys", "_loaded_state", "_path")

    def __init__(self, keys: tuple[bytes, ...], path: Path | None = None) -> None:
        """Creates a key ring.

        Args:
            keys: One or two keys; an empty key makes the MAC a checksum that proves no origin.
            path: File that `reload` reads, or None if the keys never change.
        """
        self._keys = keys
        self._path = path
        self._loaded_state = _file_state(path) if path else None

    @classmethod
    def without_key(cls) -> "MacKeys":
        """Returns a key ring whose MAC is only a checksum, for use on loopback."""
        return cls((b"",))

    @classmethod
    def from_file(cls, path: Path) -> "MacKeys":
        """Reads keys from a file of one or two lines of hexadecimal digits.

        Raises:
            MaterialError: The file cannot be read or holds no usable keys.
        """
        return cls(_read_keys(path), path)

    def sign(self, data: bytes) -> bytes:
        """Returns the MAC of a datagram under the first key."""
        return blake2b(data, digest_size=MAC_BYTES, key=self._keys[0]).digest()

    def verify(self, data: bytes, mac: bytes) -> bool:
        """Returns whether the MAC of a datagram is right under one of the keys."""
        return any(
            hmac.compare_digest(blake2b(data, digest_size=MAC_BYTES, key=key).digest(), mac)
            for key in self._keys
        )

    def reload(self) -> bool:
        """Reads the file again if it has changed.

        Returns:
            Whether the keys were replaced.

        Raises:
            MaterialError: The changed file cannot be used; the present keys stay in force, and the
                next call reads the file again.
        """
        if self._path is None:
            return False
        state = _file_state(self._path)
        if state == self._loaded_state:
            return False
        self._keys = _read_keys(self._path)
        self._loaded_state = state
        return True


class TlsFiles(NamedTuple):
    """Paths of the PEM files and the name that every process's certificate carries."""

    authority: Path
    certificate: Path
    key: Path
    peer_name: str


class TlsSettings(Protocol):
    """The settings that name the TLS files; None where a file is not given."""

    tls_authority: Path | None
    tls_certificate: Path | None
    tls_key: Path | None
    tls_name: str


class TlsMaterial:
    """Certificates for mutual TLS between the system's processes."""

    __slots__ = ("_authority", "_certificate", "_configuration", "_files", "_key", "_loaded_state")

    def __init__(self, files: TlsFiles) -> None:
        """Reads the files.

        Raises:
            MaterialError: A file cannot be read, or key and certificate do not match.
        """
        self._files = files
        self._loaded_state = self._file_states()
        self._read()

    @classmethod
    def from_settings(cls, settings: TlsSettings) -> "TlsMaterial | None":
        """Reads the files that the settings name, or returns None when they name none.

        Raises:
            MaterialError: The files cannot be used.
        """
        files = (settings.tls_authority, settings.tls_certificate, settings.tls_key)
        authority, certificate, key = files
        if authority is None or certificate is None or key is None:
            return None
        return cls(TlsFiles(authority, certificate, key, settings.tls_name))

    @property
    def peer_name(self) -> str:
        """Name that the certificate of every peer must carry."""
        return self._files.peer_name

    @property
    def authority(self) -> bytes:
        """PEM text of the authority that must have signed the certificates of all peers."""
        return self._authority

    def reload(self) -> bool:
        """Reads the files again if one has changed.

        Returns:
            Whether the material was replaced.

        Raises:
            MaterialError: The files cannot be used; the present material stays in force, and the
                next call reads the files again.
        """
        state = self._file_states()
        if state == self._loaded_state:
            return False
        self._read()
        self._loaded_state = state
        return True

    def server_credentials(self) -> grpc.ServerCredentials:
        """Returns credentials that require a certificate from every client.

        Each handshake uses the material that is then in force.
        """
        served = self._configuration

        def fetch_changed_configuration() -> grpc.ServerCertificateConfiguration | None:
            nonlocal served
            if served is self._configuration:
                return None
            served = self._configuration
            return served

        return grpc.dynamic_ssl_server_credentials(
            served, fetch_changed_configuration, require_client_authentication=True
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Returns credentials that present this process's certificate."""
        return grpc.ssl_channel_credentials(self._authority, self._key, self._certificate)

    def _file_states(self) -> tuple:
        return tuple(_file_state(path) for path in self._files[:3])

    def _read(self) -> None:
        authority, certificate, key = (_read(path) for path in self._files[:3])
        _check_key_pair(self._files)
        self._authority, self._certificate, self._key = authority, certificate, key
        # gRPC reads this attribute in a thread of its own, so it is replaced as a whole.
        self._configuration = grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=authority
        )


def _file_state(path: Path) -> tuple[int, int, int]:
    try:
        status = path.stat()
    except OSError:
        return (0, 0, 0)
    return (status.st_mtime_ns, status.st_ino, status.st_size)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise MaterialError(f"{path}: {error.strerror}") from error


def _check_key_pair(files: TlsFiles) -> None:
    """Refuses files that do not match, as in a half-finished renewal, before they are used."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except (ssl.SSLError, OSError) as error:
        raise MaterialError(f"{files.certificate} and {files.key}: {error}") from error


def _read_keys(path: Path) -> tuple[bytes, ...]:
    try:
        keys = tuple(bytes.fromhex(line) for line in _read(path).decode("ascii").split())
    except ValueError as error:
        raise MaterialError(f"{path}: a key is not in hexadecimal digits") from error
    if not 1 <= len(keys) <= _MAX_KEYS:
        raise MaterialError(f"{path}: {len(keys)} keys; one or two are needed")
    if any(len(key) not in _ALLOWED_KEY_BYTES for key in keys):
        raise MaterialError(f"{path}: a key must have 16 to 64 bytes")
    return keys

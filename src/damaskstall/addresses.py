"""Parse network addresses of the form host:port."""

from ipaddress import ip_address
from typing import NamedTuple

from damaskstall.bounds import shown
from damaskstall.errors import SettingsError

PORT_LIMIT = 65535


class Address(NamedTuple):
    """A TCP endpoint, given by an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as host:port."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address of a host:port text.

    Raises SettingsError when the text is malformed.
    """
    host, _, port = text.rpartition(":")
    if not host or not is_port(port):
        raise SettingsError(
            f"The address {shown(text)} is not of the form host:port, with a "
            f"port of at most {PORT_LIMIT}."
        )
    return Address(host, int(port))


def parse_ip_endpoint(text: str) -> Address:
    """Return the address of a text with an IP address and a port.

    Raises SettingsError when the text is malformed, or when the address
    cannot be that of one process.
    """
    address = parse_address(text)
    try:
        ip = ip_address(address.host)
    except ValueError as error:
        raise SettingsError(
            f"The address {shown(text)} does not begin with an IP address."
        ) from error
    if ip.is_unspecified or ip.is_multicast or "%" in address.host:
        raise SettingsError(
            f"The address {shown(text)} does not name one process."
        )
    if not address.port:
        raise SettingsError(f"The address {shown(text)} has the port 0.")
    return address


def is_port(text: str) -> bool:
    """Return whether a text is the decimal number of a port."""
    if not text.isascii() or not text.isdecimal():
        return False
    return len(text) <= len(str(PORT_LIMIT)) and int(text) <= PORT_LIMIT


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list.

    Raises SettingsError when one of them is malformed.
    """
    return tuple(parse_address(part) for part in text.split(",") if part)

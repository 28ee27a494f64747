"""Converters from the text of a setting to its value."""

import functools
import ipaddress
import re
from typing import Protocol

import msgspec

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_MIN_SECRET_CHARACTERS = 16
# The number of parsed endpoints in the cache. A node repeatedly parses those of the same replicas
# and peers.
MAX_CACHED_ENDPOINTS = 4096


class Endpoint(msgspec.Struct, frozen=True):
    """A TCP endpoint: an IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


class Converter(Protocol):
    """Converter from the text of a setting to its value.

    ``allowed`` describes the valid texts. The text of a ``secret`` is never shown.
    """

    allowed: str
    secret: bool

    def convert(self, text: str) -> object:
        """Return the value of ``text``; raise ``ValueError`` if it isn't valid."""


class IPAddress:
    """An IPv4 or IPv6 address."""

    allowed = "an IP address, such as 10.0.0.7"
    secret = False

    def convert(self, text: str) -> str:
        """Return the address in its canonical form."""
        try:
            return str(ipaddress.ip_address(text))
        except ValueError:
            raise ValueError("is not an IP address") from None


class Integer:
    """A whole number from ``minimum`` to ``maximum``."""

    secret = False

    def __init__(self, minimum: int, maximum: int) -> None:
        self.minimum = minimum
        self.maximum = maximum
        self.allowed = f"a whole number from {minimum} to {maximum}"

    def convert(self, text: str) -> int:
        """Return the number."""
        if not re.fullmatch(r"-?[0-9]{1,18}", text):
            raise ValueError("is not a whole number")
        number = int(text)
        if not self.minimum <= number <= self.maximum:
            raise ValueError("is out of range")
        return number


class Port(Integer):
    """A TCP port, which may also be given as an endpoint ``ip:port``."""

    def __init__(self) -> None:
        super().__init__(1, 65_535)

    def convert(self, text: str) -> int:
        """Return the port."""
        return super().convert(text.rpartition(":")[2])


class Decimal:
    """A number with decimals from ``minimum`` to ``maximum``."""

    secret = False

    def __init__(self, minimum: float, maximum: float) -> None:
        self.minimum = minimum
        self.maximum = maximum
        self.allowed = f"a number from {minimum:g} to {maximum:g}"

    def convert(self, text: str) -> float:
        """Return the number."""
        if not re.fullmatch(r"-?[0-9]{1,18}(\.[0-9]{1,18})?", text):
            raise ValueError("is not a number")
        number = float(text)
        if not self.minimum <= number <= self.maximum:
            raise ValueError("is out of range")
        return number


class Name:
    """A name of lowercase letters, digits and hyphens, with no hyphen at the start or end."""

    allowed = "1 to 63 lowercase letters, digits and hyphens"
    secret = False

    def convert(self, text: str) -> str:
        """Return the name."""
        if not _NAME.fullmatch(text):
            raise ValueError("is not a name")
        return text


class Choice:
    """A choice among several texts."""

    secret = False

    def __init__(self, *choices: str) -> None:
        self.choices = choices
        self.allowed = "one of " + ", ".join(choices)

    def convert(self, text: str) -> str:
        """Return the text."""
        if text not in self.choices:
            raise ValueError("is not an allowed value")
        return text


class Secret:
    """A secret, which no message shows."""

    allowed = f"at least {_MIN_SECRET_CHARACTERS} characters"
    secret = True

    def convert(self, text: str) -> str:
        """Return the secret."""
        if len(text) < _MIN_SECRET_CHARACTERS:
            raise ValueError("is too short")
        return text


class Optional:
    """An optional value: an empty text, or what another converter allows."""

    def __init__(self, converter: Converter) -> None:
        self._converter = converter
        self.allowed = f"empty, or {converter.allowed}"
        self.secret = converter.secret

    def convert(self, text: str) -> object:
        """Return the value, or an empty text."""
        return self._converter.convert(text) if text else ""


class Modules:
    """Names of Python modules, separated by commas."""

    allowed = "names of Python modules, separated by commas"
    secret = False

    def convert(self, text: str) -> tuple[str, ...]:
        """Return the names."""
        names = tuple(word.strip() for word in text.split(",") if word.strip())
        for name in names:
            if not all(part.isidentifier() for part in name.split(".")):
                raise ValueError(f"{name!r} is not the name of a module")
        return names


class NameMap:
    """A map of names to names: ``name=name``, separated by commas."""

    allowed = "name=name, separated by commas, such as hall-1=north,hall-2=north"
    secret = False

    def convert(self, text: str) -> dict[str, str]:
        """Return the map."""
        words = [word.strip() for word in text.split(",") if word.strip()]
        pairs = [word.partition("=") for word in words]
        for name, _, value in pairs:
            if not name.strip() or not value.strip():
                raise ValueError(f"{name!r} is not name=name")
        return {name.strip(): value.strip() for name, _, value in pairs}


class EndpointList:
    """Endpoints ``ip:port``, separated by commas."""

    allowed = "ip:port, separated by commas, such as 10.0.0.7:8082,10.0.0.8:8082"
    secret = False

    def __init__(self, minimum: int = 0) -> None:
        self.minimum = minimum

    def convert(self, text: str) -> tuple[Endpoint, ...]:
        """Return the endpoints."""
        endpoints = [endpoint.strip() for endpoint in text.split(",") if endpoint.strip()]
        if len(endpoints) < self.minimum:
            raise ValueError(f"needs at least {self.minimum}")
        return tuple(parse_endpoint(endpoint) for endpoint in endpoints)


@functools.lru_cache(MAX_CACHED_ENDPOINTS)
def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint of ``ip:port`` or ``[ip]:port``; raise ``ValueError`` otherwise."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not ip:port")
    ip = IPAddress().convert(host.strip("[]"))
    return Endpoint(ip, Port().convert(port))

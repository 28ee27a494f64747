"""Templates of settings, as the pages describe them."""

import re

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([\w.]+)\}\}")


class Template:
    """The text of a template, to be filled from ``fields``."""

    def __init__(self, fields: dict) -> None:
        self._scopes: list[object] = [fields]

    def fill(self, text: str) -> str:
        """Return ``text`` with its sections and gaps filled."""
        return _GAP.sub(self._value, _SECTION.sub(self._section, text))

    def _look_up(self, name: str) -> object:
        found = (_value_in(scope, name) for scope in reversed(self._scopes))
        return next((value for value in found if value is not None), None)

    def _value(self, gap: re.Match) -> str:
        value = self._look_up(gap.group(1))
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    def _section(self, found: re.Match) -> str:
        mark, name, inner = found.groups()
        value = self._look_up(name)
        is_given = value not in (None, False, "", [], {})
        if mark == "^" or not is_given:
            return inner if (mark == "^") is not is_given else ""
        if isinstance(value, dict):
            return self._repeated(list(value.items()), inner)
        if isinstance(value, list):
            return self._repeated(list(enumerate(value)), inner)
        return self.fill(inner)

    def _repeated(self, entries: list[tuple[object, object]], inner: str) -> str:
        text = ""
        for count, (key, item) in enumerate(entries):
            once = inner.replace("{{,}}", "," if count < len(entries) - 1 else "")
            once = once.replace("{{@}}", str(key)).replace("{{.}}", str(item))
            self._scopes.append(item)
            text += self.fill(once)
            self._scopes.pop()
        return text


def _value_in(scope: object, name: str) -> object:
    """Return what ``scope`` holds under a dotted ``name``, ``None`` if there is nothing."""
    value = scope
    for part in name.split("."):
        if isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value

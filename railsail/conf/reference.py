"""Make the reference page of the settings from their definitions.

python -m railsail.conf.reference > docs/ref/settings.md
"""

from railsail.conf.settings import OPTIONS, Option

_HEAD = """# Settings

Each setting of `railsaild` is a flag or an environment variable; a flag goes first. `railsaild
--check` checks them and exits. Every finding is shown with its place, all together, before any port
is opened; the exit code is then 2. Secrets are never shown or logged; give them as variables.

This page is made by `python -m railsail.conf.reference` and checked in CI.
"""


def page() -> str:
    """Return the page as Markdown."""
    parts = [_HEAD]
    for option in OPTIONS:
        parts.append(_section(option))
    return "\n".join(parts)


def _section(option: Option) -> str:
    default = "none, required" if option.default is None else f"`{option.default}`"
    return (
        f"## {option.flag}\n\n{option.help}\n\n"
        f"- variable: `{option.variable}`\n"
        f"- allowed: {option.converter.allowed}\n"
        f"- default: {default}\n"
    )


def main() -> None:
    """Print the page."""
    print(page(), end="")


if __name__ == "__main__":
    main()

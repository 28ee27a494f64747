"""The entry point of the daemon ``railsaild``."""

from railsail.core.lean import skip_command_line_parts


def main() -> None:
    """Run the daemon."""
    skip_command_line_parts()
    # Imported only now, since it imports the libraries whose parts are skipped.
    from railsail.process import run

    run()


if __name__ == "__main__":
    main()

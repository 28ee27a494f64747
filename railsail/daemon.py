"""The entry point of the daemon ``railsaild``."""

from railsail.core.imports import without_unused_modules


def main() -> None:
    """Run the daemon."""
    with without_unused_modules():
        # Imported here, since it imports the libraries whose unused modules are skipped.
        from railsail.process import run

    run()


if __name__ == "__main__":
    main()

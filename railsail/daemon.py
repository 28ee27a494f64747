"""The entry point of the daemon ``railsaild``."""

from railsail.core.lean import lean_imports


def main() -> None:
    """Run the daemon."""
    with lean_imports():
        # Imported only now, since it imports the libraries whose parts are skipped.
        from railsail.process import run

    run()


if __name__ == "__main__":
    main()

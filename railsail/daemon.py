"""The entry point of the daemon ``railsaild``."""

from railsail.core.imports import lean_imports


def main() -> None:
    """Run the daemon."""
    with lean_imports():
        # Imported here, since it imports the libraries whose unused modules are skipped.
        from railsail.process import run

    run()


if __name__ == "__main__":
    main()

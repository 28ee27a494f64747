"""The entry point of the daemon ``railsaild``."""

import signal

from railsail.core.imports import without_unused_modules


def main() -> None:
    """Run the daemon."""
    # SIGHUP would end the process until ``run`` handles it. The settings are not read before that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with without_unused_modules():
        # Imported here, since it imports the libraries whose unused modules are skipped.
        from railsail.process import run

    run()


if __name__ == "__main__":
    main()

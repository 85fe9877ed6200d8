"""Run the router's command line, which ignores harmless signals while it starts."""

from __future__ import annotations

from catkintrack.startup_signals import ignore_early_signals


def main() -> None:
    """Ignore harmless signals, then import and run the process."""
    ignore_early_signals()
    # The imports take most of a start.
    from .process import main as run_process

    run_process()


if __name__ == "__main__":
    main()

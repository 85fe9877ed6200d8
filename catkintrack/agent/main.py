"""Run the agent's command line, which ignores the reload signal while it starts."""

from __future__ import annotations

from catkintrack.reload_signal import ignore_reload_signal


def main() -> None:
    """Ignore the reload signal, then import and run the process."""
    ignore_reload_signal()
    # The imports take most of a start.
    from .process import main as run_process

    run_process()


if __name__ == "__main__":
    main()

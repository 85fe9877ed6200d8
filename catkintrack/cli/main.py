"""Define the commands of the command line for operators."""

from __future__ import annotations

import fire

from . import (
    check_commands,
    config_commands,
    entity_commands,
    explain_commands,
    fleet_commands,
    link_commands,
)
from .settings_commands import check_settings, check_site

COMMANDS = {
    "config": {
        "validate": config_commands.validate,
        "check": check_commands.check,
        "show": config_commands.show,
        "diff": config_commands.diff,
        "apply": config_commands.apply,
    },
    "key": {
        "make": entity_commands.make_key,
        "withdraw": entity_commands.withdraw_key,
    },
    "workspace": {"set": entity_commands.set_workspace},
    "tier": {"set": entity_commands.set_tier},
    "upstream": {
        "drain": entity_commands.drain_upstream,
        "resume": entity_commands.resume_upstream,
    },
    "fleet": {"status": fleet_commands.status, "dump": fleet_commands.dump},
    "links": {"keys": link_commands.make_link_keys},
    "settings": {"check": check_settings, "site": check_site},
    "explain": explain_commands.explain,
    "summarize": explain_commands.summarize,
}


def main() -> None:
    """Run the command that is given on the command line."""
    fire.Fire(COMMANDS, name="catkintrack")


if __name__ == "__main__":
    main()

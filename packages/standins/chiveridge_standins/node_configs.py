"""INI configuration and command line of the nodes of a fleet."""

import configparser
import pathlib

from chiveridge_standins import servers

CONFIG_STREAM = "configuration"


def node_config(
    name: str, domain: str, platform_url: str, settings: dict[str, dict[str, str]]
) -> configparser.ConfigParser:
    """Return the configuration of a node; ``settings`` overrides it by section and key."""
    config = configparser.ConfigParser(interpolation=None)
    config["node"] = {
        "name": name,
        "domain": domain,
        "address": servers.LOOPBACK,
        "caller_port": "0",
        "peer_port": "0",
    }
    config["platform"] = {
        "log_url": platform_url,
        "vms_url": platform_url,
        "config_stream": CONFIG_STREAM,
    }
    config["placement"] = {"policy": "owners"}
    config.read_dict(settings)
    return config


def node_command(name: str, config: pathlib.Path, profile_directory: str) -> tuple[str, list[str]]:
    """Return the module and arguments that run a node.

    The node runs under cProfile unless ``profile_directory`` is empty.
    """
    arguments = ["--config", str(config)]
    if not profile_directory:
        return "chiveridge_node", arguments
    profile_path = pathlib.Path(profile_directory, f"{name}.prof")
    return "cProfile", ["-o", str(profile_path), "-m", "chiveridge_node", *arguments]

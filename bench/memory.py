"""Measures the resident memory of a balancer process with the catalog of the planned fleet."""

__all__ = ["run"]

import gc
import json
import subprocess
import sys
from pathlib import Path

_PAGE_BYTES = 4096  # on x86-64
_BYTES_PER_MB = 1e6
_TIMEOUT_S = 300


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * _PAGE_BYTES / _BYTES_PER_MB


def _measure_stages() -> dict[str, float]:
    """Returns resident MB after each stage of a start.

    The imports are inside this function so that the loading of libraries and modules is measured
    too.
    """
    figures = {"interpreter_mb": _resident_mb()}

    from shallotshore.application import Application, ApplicationConfig

    figures["libraries_mb"] = _resident_mb()

    import random

    from bench.large_catalog import FLEET_SERVICE_COUNT, FLEET_UPSTREAM_COUNT, build_catalog
    from shallotshore.balancer import BalancerConfig, BalancerCore
    from shallotshore.listed_peers import ListedPeers
    from shallotshore.membership import Membership

    figures["modules_mb"] = _resident_mb()
    config = BalancerConfig(("127.0.0.1", 7000), "dc-0")
    peers = ListedPeers(config.address, config.data_centre, Membership())
    catalog = build_catalog(FLEET_SERVICE_COUNT, FLEET_UPSTREAM_COUNT)
    gc.collect()
    figures["catalog_mb"] = _resident_mb()
    core = BalancerCore(config, random.Random(1), catalog, peers)
    application = Application(core, ApplicationConfig(config.address, control=False))
    core.tick(10_000)
    gc.collect()
    figures["balancer_process_mb"] = _resident_mb()
    assert application.core is core
    return figures


def run() -> dict[str, float]:
    """Measures in a process of its own and returns resident megabytes (1e6 bytes) by stage."""
    command = [sys.executable, "-m", "bench.memory"]
    done = subprocess.run(command, capture_output=True, check=True, timeout=_TIMEOUT_S)
    figures: dict[str, float] = json.loads(done.stdout)
    return figures


if __name__ == "__main__":
    print(json.dumps(_measure_stages()))

"""Entry point of the benchmark; ``tools`` and the stand-ins are not part of the installed package."""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def main() -> None:
    """Run ``tools.bench`` of the source checkout that this package is installed from."""
    if not (ROOT / "tools" / "bench.py").exists():
        sys.exit("currantlead-bench: requires an editable installation from a source checkout")
    sys.path.insert(0, str(ROOT))
    importlib.import_module("tools.bench").entry()

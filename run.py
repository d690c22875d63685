"""Starts gladecroft from a source checkout, with the dependencies that the build installed in target/deps."""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(_ROOT / "src"), str(_ROOT / "target" / "deps")]

from gladecroft.cli import main  # noqa: E402  (needs the path set above)

if __name__ == "__main__":
    main()

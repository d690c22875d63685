"""Start gladecroft from a checkout, using the packages that the build put under target/deps."""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(_ROOT / "src"), str(_ROOT / "target" / "deps")]

from gladecroft.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    main()

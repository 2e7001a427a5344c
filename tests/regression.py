"""Runs the simulated days that must pass before a merge, by deployment.

usage: python -m tests.regression BENCH PAGES

`BENCH` is the users' bench, `PAGES` the folder with their site files. Stops with
exit code 1 at the first deployment on which a day breaks a rule.
"""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import defopt

BAD_USAGE = 2


@dataclass(frozen=True)
class Hunt:
    """The days to run on one deployment.

    `days`
        Number of days: 40 on small deployments, 8 on those with 60 machines or
        more.
    `jobs`
        Number of days that run at once. A day of the largest deployment takes
        3.6 GB, and half of the machine's memory is 12 GB.
    """

    site: str
    days: int
    jobs: int


#: The deployments whose days are run. The large one replaced the two oldest small
#: ones when it passed its gate.
HUNTS = (
    Hunt("further/vul-tapatia.toml", days=40, jobs=4),
    Hunt("further-grown/vul-tapatia-grown.toml", days=8, jobs=4),
    Hunt("grown/rx-repeat-grown.toml", days=8, jobs=4),
    Hunt("grown/leidakerfi-grown.toml", days=8, jobs=4),
    Hunt("large/rx-repeat-large.toml", days=8, jobs=2),
)


def main(bench: Path, pages: Path):
    """Run the days that must pass before a merge.

    :param bench: the users' bench.
    :param pages: the folder with their site files.
    """
    missing = [one for one in (bench, *sites(pages)) if not one.is_file()]
    if missing:
        print(f"not found: {missing[0]}", file=sys.stderr)
        sys.exit(BAD_USAGE)
    for hunt, site in zip(HUNTS, sites(pages), strict=True):
        options = ["--days", str(hunt.days), "--jobs", str(hunt.jobs)]
        done = subprocess.run([bench, "hunt", site, *options], check=False)
        if done.returncode:
            sys.exit(1)


def sites(pages):
    """Return the paths of the site files."""
    return [pages / hunt.site for hunt in HUNTS]


if __name__ == "__main__":
    defopt.run(main)

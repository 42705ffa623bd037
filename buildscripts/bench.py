#!/usr/bin/env python3
"""The bench of the real binaries on loopback; see bench.sh.

    bench.py path [--quick]
    bench.py decisions [--quick] [--parallel=N] [--only=WORD[,WORD...]]
    bench.py scale [--quick] [--only=PART[,PART...]]

--only keeps the cells whose name (DEPLOYMENT/LOAD/POLICY/FAULT/SEED) holds
one of the words; of `scale`, the parts aggregates, processes, in_force,
recovery, beside what an earlier run wrote of the others.
"""

import sys

import bench_decisions
import bench_path
import scale


def main(arguments):
    quick = "--quick" in arguments
    options = dict(argument.removeprefix("--").split("=", 1)
                   for argument in arguments if "=" in argument)
    names = [argument for argument in arguments
             if not argument.startswith("--")]
    only = [word for word in options.get("only", "").split(",") if word]
    if names == ["path"]:
        return bench_path.run(quick)
    if names == ["decisions"]:
        return bench_decisions.run(quick, int(options.get("parallel", "4")),
                                   only)
    if names == ["scale"]:
        return scale.run(quick, only)
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

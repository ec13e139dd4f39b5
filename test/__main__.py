"""Runs the tests; the last line of the output counts passes and failures."""

from __future__ import annotations

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Returns the IDs of the tests listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.partition(":")[2].strip()
        for line in lines
        if line.startswith("test:")
    }


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Returns the test cases of a suite and its nested suites."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases += flatten(item)
        else:
            cases.append(item)
    return cases


def main(names: list[str]) -> int:
    """Runs the tests of the named modules, or all modules.

    Tests listed in KNOWN-RED.txt are not run.

    Returns:
      The exit code: 1 if a test failed or none ran, else 0.
    """
    loader = unittest.TestLoader()
    if names:
        loaded_suite = loader.loadTestsFromNames(
            [f"test.{name}" for name in names]
        )
    else:
        loaded_suite = loader.discover(
            str(ROOT / "test"), top_level_dir=str(ROOT)
        )
    known_red_ids = read_known_red()
    cases = [
        case for case in flatten(loaded_suite) if case.id() not in known_red_ids
    ]
    for name in sorted(known_red_ids):
        print(f"known red, passed over: {name}")
    runner = unittest.TextTestRunner(stream=sys.stdout, verbosity=2)
    outcome = runner.run(unittest.TestSuite(cases))
    # A test counts as one failure, however many of its subtests fail.
    failed_ids = {
        getattr(case, "test_case", case).id()
        for case, _ in outcome.failures + outcome.errors
    }
    failed = len(failed_ids) + len(outcome.unexpectedSuccesses)
    skipped = f", {len(outcome.skipped)} skipped" if outcome.skipped else ""
    print(f"{outcome.testsRun - failed} passed, {failed} failed{skipped}")
    return 1 if failed or not outcome.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

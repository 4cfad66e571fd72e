"""Tests that the linearizability checker detects each kind of violation."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))

import linearizability
from linearizability import Operation


def change(start, end, version, number, base=None):
    base = version - 1 if base is None else base
    return Operation("change", start, end, version, base, "op", number)


def revision(version, number, base=None):
    base = version - 1 if base is None else base
    return {
        "version": str(version),
        "change": {"operator_id": "op", "request_number": str(number), "base_version": str(base)},
    }


VALID = [
    change(0, 1, 1, 1),
    Operation("read", 0, 2, 0),
    Operation("read", 2, 3, 1),
    change(3, 4, 2, 2),
    Operation("change", 4, 9, None, 2, "op", 3),
]
LOG = [revision(1, 1), revision(2, 2), revision(3, 3)]


class LinearizabilityTest(unittest.TestCase):
    def test_accepts_valid_history(self):
        self.assertEqual([], linearizability.check(VALID, LOG))

    def test_detects_lost_change(self):
        self.assertTrue(linearizability.check(VALID, LOG[:1]))

    def test_detects_replaced_change(self):
        self.assertTrue(linearizability.check(VALID, [LOG[0], revision(2, 9), LOG[2]]))

    def test_detects_stale_read(self):
        self.assertTrue(linearizability.check(VALID + [Operation("read", 5, 6, 1)], LOG))

    def test_detects_change_applied_twice(self):
        self.assertTrue(linearizability.check(VALID, LOG + [revision(4, 2)]))

    def test_detects_two_changes_with_same_version(self):
        self.assertTrue(linearizability.check(VALID + [change(3, 4, 2, 7)], LOG))

    def test_detects_gap_in_log(self):
        self.assertTrue(linearizability.check(VALID, [LOG[0], LOG[1], revision(4, 3)]))

    def test_detects_change_with_wrong_base_version(self):
        self.assertTrue(linearizability.check([change(0, 1, 2, 2, base=0)], LOG))

    def test_detects_change_older_than_a_completed_one(self):
        operations = [change(0, 1, 2, 2), change(2, 3, 1, 1)]
        self.assertTrue(linearizability.check(operations, LOG))


if __name__ == "__main__":
    unittest.main()

"""Tests that history_check detects each kind of violation."""

import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))

import history_check


class HistoryCheckTest(unittest.TestCase):
    def check(self, runs, record, late="0"):
        with tempfile.TemporaryDirectory() as folder:
            files = (("u1.runs", runs), ("caller.record", record), ("u1.late", [late]))
            for name, lines in files:
                with open(os.path.join(folder, name), "w") as file:
                    file.write("".join(line + "\n" for line in lines))
            return history_check.check(folder)

    def test_accepts_valid_history(self):
        violations = self.check(["c-0-1", "c-0-1", "c-0-3"], ["answered c-0-1", "not_run c-0-6"])
        self.assertEqual({0}, set(violations.values()))

    def test_detects_double_run_of_non_idempotent_request(self):
        self.assertEqual(1, self.check(["c-0-3", "c-0-3"], [])["double_runs"])

    def test_detects_false_not_run_outcome(self):
        self.assertEqual(1, self.check(["c-0-4"], ["not_run c-0-4"])["false_not_run"])

    def test_detects_late_work_at_draining_upstream(self):
        self.assertEqual(2, self.check([], [], late="2")["late_work"])

    def test_detects_answer_without_run(self):
        self.assertEqual(1, self.check([], ["answered c-0-4"])["answers_without_run"])


if __name__ == "__main__":
    unittest.main()

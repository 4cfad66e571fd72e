"""Shows that the check of recorded requests finds each kind of violation."""

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

    def test_accepts_a_valid_history(self):
        found = self.check(["c-0-1", "c-0-1", "c-0-3"], ["answered c-0-1", "not_run c-0-6"])
        self.assertEqual({0}, set(found.values()))

    def test_finds_a_second_run_of_a_request_that_may_not_be_repeated(self):
        self.assertEqual(1, self.check(["c-0-3", "c-0-3"], [])["double_runs"])

    def test_finds_a_false_refusal(self):
        self.assertEqual(1, self.check(["c-0-4"], ["not_run c-0-4"])["false_not_run"])

    def test_finds_work_for_an_upstream_that_drains(self):
        self.assertEqual(2, self.check([], [], late="2")["late_work"])

    def test_finds_an_answer_without_a_run(self):
        self.assertEqual(1, self.check([], ["answered c-0-4"])["answers_without_run"])


if __name__ == "__main__":
    unittest.main()

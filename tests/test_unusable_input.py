"""Tests of input that decodes and that nothing later can hold.

Guards against a number or a nesting that ends a thread far from where it
came in: each next owner would fail by the same job.
"""

import unittest

from primroseledge.errors import DocumentError
from primroseledge.platform.decoding import decode_job


class UnusableInputTest(unittest.TestCase):
    def test_jobs_that_no_record_holds_are_rejected(self) -> None:
        step = b'{"task_spec": "x", "steps": [{"count": 1, "cpu": 1%s}]}'
        deep = b'{"x": ' + b'[' * 100_000 + b']' * 100_000 + b'}'
        for body in (step % (b'0' * 30), step % (b'0' * 400), deep):
            with self.subTest(body[:60]), self.assertRaises(DocumentError):
                decode_job(body)


if __name__ == '__main__':
    unittest.main()

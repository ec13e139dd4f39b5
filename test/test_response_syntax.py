"""The checker of responses, apart from connections."""

from __future__ import annotations

import unittest

from agatedock import response_syntax
from test import malformed_responses

CONTENT = malformed_responses.Content(b"X-Even: 1", b"run by shop-1\n\n")


def check(*blocks: bytes) -> tuple[bool, int, bool]:
    """Returns whether blocks are within the grammar, and what was seen."""
    checker = response_syntax.ResponseChecker()
    try:
        for block in blocks:
            checker.feed(block)
    except response_syntax.InvalidResponseError:
        return False, 0, False
    return True, checker.head_count, checker.is_exceeded


def split(data: bytes, size_bytes: int) -> list[bytes]:
    """Returns data in blocks of this size."""
    return [
        data[start : start + size_bytes]
        for start in range(0, len(data), size_bytes)
    ]


class CheckerTest(unittest.TestCase):
    """How bytes are divided into blocks makes no difference."""

    def test_sound_responses_in_any_blocks(self):
        for answer in malformed_responses.list_sound(CONTENT):
            heads = answer.count(b"HTTP/1.")
            for size_bytes in (1, 2, 3, 7, len(answer)):
                with self.subTest(answer=answer, size_bytes=size_bytes):
                    found = check(*split(answer, size_bytes))
                    self.assertEqual(found, (True, heads, False))

    def test_invalid_responses_in_any_blocks(self):
        for answer in malformed_responses.list_invalid(CONTENT):
            with self.subTest(answer=answer):
                found = check(answer)
                for size_bytes in (1, 2, 3, 7):
                    divided = check(*split(answer, size_bytes))
                    self.assertEqual(divided, found)

    def test_bytes_behind_the_end_are_seen(self):
        for answer in (
            malformed_responses.format_sound(CONTENT),
            malformed_responses.format_chunked(CONTENT),
            malformed_responses.join_head(b"HTTP/1.1 204 No Content"),
        ):
            with self.subTest(answer=answer):
                self.assertEqual(check(answer), (True, 1, False))
                self.assertEqual(check(answer, b"x"), (True, 1, True))
                self.assertEqual(check(answer + b"x"), (True, 1, True))

    def test_response_without_a_length_goes_on(self):
        head = malformed_responses.join_head(b"HTTP/1.1 200 OK")
        self.assertEqual(check(head, b"a", b"b" * 9000), (True, 1, False))

    def test_response_to_a_head_request_has_no_body(self):
        checker = response_syntax.ResponseChecker(has_body=False)
        length = b"Content-Length: 7"
        checker.feed(malformed_responses.join_head(b"HTTP/1.1 200 OK", length))
        self.assertFalse(checker.is_exceeded)
        checker.feed(b"x")
        self.assertTrue(checker.is_exceeded)

    def test_lines_and_trailers_without_end(self):
        head = malformed_responses.join_head(
            b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked"
        )
        extension = b"1;a=" + b"a" * 9000
        self.assertFalse(check(head, extension)[0])
        trailers = [b"X-Even: " + b"a" * 1000 + b"\r\n"] * 40
        self.assertFalse(check(head + b"0\r\n", *trailers)[0])

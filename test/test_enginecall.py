"""Streams of engines: each ends once, read or not."""

from __future__ import annotations

import unittest
from unittest import mock

from agatedock import enginecall
from agatedock import gate
from test import test_props


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Ends of a stream as its home counts them."""

    def _make(self, chunks: list) -> enginecall.EngineStream:
        call = test_props.make_call(1)
        response = mock.Mock(headers={})
        response.content.readany = mock.AsyncMock(side_effect=chunks)
        self._ends: list[tuple[int, bool]] = []
        self._run = gate.Run(call, 0.0)
        return enginecall.EngineStream(
            call,
            self._run,
            response,
            lambda tokens, ended: self._ends.append((tokens, ended)),
        )

    async def test_stream_that_was_never_read_ends(self):
        stream = self._make([])
        stream.close()
        stream.close()
        self.assertEqual(self._ends, [(0, False)])

    async def test_whole_stream_ends_once_with_its_tokens(self):
        stream = self._make([b"a\n\nb\n\n", b"c\n\nd\n\n", b""])
        async for _ in stream.chunks():
            pass
        stream.close()
        self.assertEqual(self._ends, [(2, True)])

    async def test_cut_stream_has_not_ended(self):
        stream = self._make([b"a\n\n", ConnectionResetError()])
        with self.assertRaises(ConnectionResetError):
            async for _ in stream.chunks():
                pass
        self.assertEqual(self._ends, [(0, False)])

    async def test_preempted_stream_says_so(self):
        stream = self._make([b"a\n\n", b""])
        self._run.preempted = True
        chunks = [chunk async for chunk in stream.chunks()]
        self.assertEqual(chunks[-1], b"data: [PREEMPTED]\n\n")

"""Tests of the compact index and the arena."""

import random
import unittest
from array import array

from shallotshore.compact import Arena, RowIndex


class RowIndexTest(unittest.TestCase):
    """Guards against lookups of an upstream that find a wrong row after inserts and removals."""

    def test_index_agrees_with_a_dictionary(self) -> None:
        rng = random.Random(1)
        keys = [rng.getrandbits(64) for _ in range(300)]
        index, model = RowIndex(), {}
        for step in range(5000):
            key = rng.choice(keys)
            if rng.random() < 0.4:
                self.assertEqual(index.pop(key, -1), model.pop(key, -1))
            else:
                index[key] = model[key] = step
            self.assertEqual(index.get(key, -1), model.get(key, -1))
        self.assertEqual(dict(index), model)
        self.assertEqual(len(index), len(model))


class ArenaTest(unittest.TestCase):
    """Guards against damaged names and texts when records are moved to reuse memory."""

    def test_texts_survive_moves_and_memory_stays_bounded(self) -> None:
        rng = random.Random(2)
        locations = array("I", bytes(4 * 400))
        arena, model = Arena(locations), {}
        for step in range(20_000):
            row = rng.randrange(400)
            if row in model:
                arena.free(row)
            model[row] = (f"name-{row}".encode(), rng.randbytes(rng.randrange(200)))
            arena.write_record(row, *model[row])
            if step % 500 == 0:
                for each, (name, text) in model.items():
                    self.assertEqual((arena.name(each), arena.text(each)), (name, text))
        live = sum(len(name) + len(text) + 7 for name, text in model.values())
        self.assertLess(arena.size, 3 * live + 2 * 16_384)

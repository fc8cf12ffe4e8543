import pytest

from guavawalk.exception import AnswerOverLimit
from guavawalk.process.gateway.buffers import (
    MAX_ANSWER_BYTES,
    MAX_TOTAL_BYTES,
    SMALL_ANSWER_BYTES,
    create_buffer_budget,
)


class TestBufferBudget:
    def test_small_answer_fits_while_large_ones_use_the_budget(self):
        budget = create_buffer_budget()
        with budget.answer() as large, budget.answer() as small:
            budget.used_bytes += MAX_TOTAL_BYTES
            with pytest.raises(AnswerOverLimit):
                large.append(bytes(SMALL_ANSWER_BYTES + 1))
            small.append(bytes(SMALL_ANSWER_BYTES))
            with pytest.raises(AnswerOverLimit):
                small.append(b"x")

    def test_one_answer_is_limited(self):
        budget = create_buffer_budget()
        with budget.answer() as answer:
            answer.append(bytes(MAX_ANSWER_BYTES))
            with pytest.raises(AnswerOverLimit):
                answer.append(b"x")

    def test_bytes_of_an_ended_answer_do_not_count(self):
        budget = create_buffer_budget()
        with budget.answer() as answer:
            answer.append(b"abc")
            assert budget.used_bytes == 3
        assert budget.used_bytes == 0

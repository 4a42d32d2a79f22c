from chiveridge_kernel import answers, results

BODY = b"x" * 400
STORED_SIZE = len(BODY) + answers.ENTRY_OVERHEAD_BYTES


def stored_answer(body: bytes = BODY) -> answers.StoredAnswer:
    return answers.StoredAnswer(team="a-team", code=results.ResultCode.COMPLETE, body=body)


def make_store(names: str, capacity: int) -> answers.AnswerStore:
    store = answers.AnswerStore(capacity * STORED_SIZE)
    for name in names:
        store.put(name, stored_answer())
    return store


def test_the_oldest_answer_is_evicted_over_the_budget():
    store = make_store("abcd", capacity=3)
    assert [name for name in "abcd" if store.find(name)] == ["b", "c", "d"]
    assert store.stored_bytes == 3 * STORED_SIZE


def test_fetched_answers_are_evicted_before_unfetched_ones():
    store = make_store("abc", capacity=3)
    store.note_fetched("c")
    store.put("d", stored_answer())
    assert [name for name in "abcd" if store.find(name)] == ["a", "b", "d"]


def test_a_fetched_answer_can_be_fetched_again():
    store = make_store("a", capacity=1)
    store.note_fetched("a")
    store.note_fetched("a")
    assert store.find("a") == stored_answer()


def test_a_second_answer_to_a_submission_is_ignored():
    store = make_store("a", capacity=2)
    store.put("a", stored_answer(b"other"))
    assert store.find("a").body == BODY
    assert store.stored_bytes == STORED_SIZE


def test_newest_returns_unfetched_answers_first_and_newer_before_older():
    store = make_store("abcd", capacity=4)
    store.note_fetched("d")
    assert list(store.newest(3 * STORED_SIZE)) == ["c", "b", "a"]
    assert list(store.newest(4 * STORED_SIZE)) == ["c", "b", "a", "d"]

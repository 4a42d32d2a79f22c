from chiveridge_kernel import answers, results

BODY = b"x" * 400
COST = len(BODY) + answers.ENTRY_OVERHEAD_BYTES


def kept(body: bytes = BODY) -> answers.KeptAnswer:
    return answers.KeptAnswer(team="a-team", code=results.ResultCode.COMPLETE, body=body)


def store_of(names: str, room: int) -> answers.AnswerStore:
    store = answers.AnswerStore(room * COST)
    for name in names:
        store.put(name, kept())
    return store


def test_over_the_budget_the_oldest_answer_goes():
    store = store_of("abcd", room=3)
    assert [name for name in "abcd" if store.find(name)] == ["b", "c", "d"]
    assert store.held_bytes == 3 * COST


def test_a_fetched_answer_goes_before_one_that_nobody_has_seen():
    store = store_of("abc", room=3)
    store.note_fetched("c")
    store.put("d", kept())
    assert [name for name in "abcd" if store.find(name)] == ["a", "b", "d"]


def test_a_fetched_answer_can_be_fetched_again():
    store = store_of("a", room=1)
    store.note_fetched("a")
    store.note_fetched("a")
    assert store.find("a") == kept()


def test_the_first_answer_to_a_submission_stands():
    store = store_of("a", room=2)
    store.put("a", kept(b"other"))
    assert store.find("a").body == BODY
    assert store.held_bytes == COST


def test_the_newest_answers_come_first_and_unseen_ones_before_others():
    store = store_of("abcd", room=4)
    store.note_fetched("d")
    assert list(store.newest(3 * COST)) == ["c", "b", "a"]
    assert list(store.newest(4 * COST)) == ["c", "b", "a", "d"]

"""The text of an error has its location, code and hint.

A refusal states that the request has not run unless the error says otherwise.
"""

from hickorymux._internal.exceptions import Ran, RouteNotFound


def test_error_names_place_code_and_hint() -> None:
    error = RouteNotFound('no route', where='body.model', hint='add a route')
    assert str(error) == 'body.model: [route_not_found] no route (add a route)'


def test_refusal_is_not_run_unless_stated() -> None:
    assert RouteNotFound('no route').ran is Ran.not_run

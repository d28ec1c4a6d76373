"""Frees what the tracebacks of handled errors refer to."""


def drop_tracebacks(error: BaseException) -> None:
    """Drop the traceback of an error, and those of the errors that led to it.

    A task or future keeps its error, whose traceback refers to the frames that
    the error passed. Where one of these refers to the task or future, only the
    garbage collector frees them, with all that they refer to.

    Example::

        except RequestError as error:
            drop_tracebacks(error)
            return refuse(error)
    """
    error.__traceback__ = None
    for other in (error.__cause__, error.__context__):
        if other is not None and other.__traceback__ is not None:
            drop_tracebacks(other)

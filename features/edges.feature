Feature: Arbitrary external input gives a valid result or the documented error

  Scenario: Frames of a peer
    Guards against a faulty or newer peer whose data ends the task that serves its stream.
    Then any bytes give messages or a peer error and every message survives its round trip

  Scenario: Declarations
    Guards against an operator's text that crashes validation instead of being reported.
    Then any JSON value is refused with its faults or gives a declaration

  Scenario: Requests of callers
    Guards against data that ends a handler without a response or breaks the listener for others.
    Then any request bytes get an answer or a closed connection and the next request is served

  Scenario: Answers of the store
    Guards against a faulty store whose responses end the task that called it.
    Then any answer of the store gives a value of the right type or a store error

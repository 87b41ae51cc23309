Feature: What arrives from outside ends in a message, an answer or the error that stands for it

  Scenario: Frames of a peer
    Guards against a faulty or newer peer whose bytes end the task that serves its stream.
    Then any bytes give messages or a peer error and every message survives its round trip

  Scenario: Declarations
    Guards against an operator's text that the checks fail on instead of naming its fault.
    Then any JSON value is refused with its faults or gives a declaration

  Scenario: Requests of callers
    Guards against bytes that end a handler without an answer or spoil the listener for others.
    Then any request bytes get an answer or a closed connection and the next request is served

  Scenario: Answers of the store
    Guards against a faulty store whose answers end the task that called it.
    Then any answer of the store gives a value of the right type or a store error

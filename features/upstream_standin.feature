Feature: The stand-in of an upstream keeps its contract and breaks it on demand

  # Guards against a checker that trusts an execution record which misses or doubles one.
  Scenario: An answer names its execution
    Given an upstream stand-in
    Then an answer equals the recorded execution byte for byte and echoes the request id

  # Guards against a refusal that executed something.
  Scenario: Requests beyond slots and queue are refused before they execute
    Given an upstream stand-in
    Then of 10 requests at once 6 are executed, never more than 4 together, and 4 refused

  # Guards against work that goes on after its caller has left or its deadline has passed.
  Scenario: Cancellation and deadline end an execution
    Given an upstream stand-in
    Then a closed connection cancels and a deadline expires the execution

  # Guards against fault injection that silently injects nothing.
  Scenario Outline: Broken answers
    Given an upstream stand-in
    Then a caller sees <sight> after <behaviour> is posted

    Examples:
      | behaviour                      | sight                       |
      | {"cut_next": 1}                | a body that is too short    |
      | {"cut_chunked_next": 1}        | a body without its end      |
      | {"crossed_next": 1}            | the answer before           |
      | {"drop_next": 1}               | nothing                     |
      | {"crash_marker": "oven-7"}     | nothing and a closed port   |
      | {"late_next": 1, "late_s": 0.3} | a late answer               |

  # Guards against connections that come back although they were to stay silent.
  Scenario: Open connections go silent while new ones work
    Given an upstream stand-in
    Then an open connection gets no answer any more and a new one does

  # Guards against health that is always true.
  Scenario: Health lags and misleads
    Given an upstream stand-in
    Then health shows an old state, then a false one

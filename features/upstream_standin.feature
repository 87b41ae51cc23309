Feature: The upstream stand-in implements the upstream contract and violates it on demand

  # Guards against a checker that relies on an execution log with missing or duplicate entries.
  Scenario: An answer names its execution
    Given an upstream stand-in
    Then an answer equals the recorded execution byte for byte and echoes the request id

  # Guards against refused requests that were executed.
  Scenario: Requests beyond slots and queue are refused before they execute
    Given an upstream stand-in
    Then of 10 requests at once 6 are executed, never more than 4 together, and 4 refused

  # Guards against work that continues after its caller disconnected or its deadline passed.
  Scenario: Cancellation and deadline end an execution
    Given an upstream stand-in
    Then a closed connection cancels and a deadline expires the execution

  # Guards against fault injection without effect.
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

  # Guards against silenced connections that recover.
  Scenario: Open connections go silent while new ones work
    Given an upstream stand-in
    Then an open connection gets no further answer and a new one does

  # Guards against health reports that are always accurate.
  Scenario: Health reports are delayed and false
    Given an upstream stand-in
    Then health reports an outdated state, then a false one

Feature: Every submission has one effect, and its author is told which

  # Guards against a declaration that is overwritten unseen by a second operator's.
  Scenario: Racing operators
    Then of 3 racing operators exactly one wins and the others are told what differs

  # Guards against a write that is repeated, or reported wrongly, after its answer was lost.
  Scenario: Racing operators while the store loses, drops and delays answers
    Then whatever happens to the calls each report agrees with what the store holds

  # Guards against a lost answer that is reported as unknown although the store can tell.
  Scenario Outline: A single lost answer is settled
    Then a write with the fate <fate> takes effect once and reports version 1

    Examples:
      | fate    |
      | lost    |
      | dropped |
      | late    |

  # Guards against a report that goes by the mark alone after it has been overwritten.
  Scenario Outline: Others write twice before the object is read back
    Then a submission with the fate <fate>, followed up to version 2 by others on the <first> text, is reported as <report>

    Examples:
      | fate    | first | report         |
      | lost    | own   | Submitted      |
      | dropped | other | SubmitConflict |

  # Guards against an operator who edits an outdated text.
  Scenario: A text edited from an older revision
    Then a text edited from an older revision is refused with the paths that differ

  # Guards against a lost answer on the way through the real client and the store's stand-in.
  Scenario: A lost answer of the stand-in
    Then a submission whose answer the stand-in loses is reported as submitted

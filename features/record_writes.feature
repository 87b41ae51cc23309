Feature: Every submission has one effect, which is reported to its author

  # Guards against a lost update: a second operator's submission overwrites the first unnoticed.
  Scenario: Racing operators
    Then of 3 racing operators exactly one wins and the others are told what differs

  # Guards against a write that is repeated or misreported after its response was lost.
  Scenario: Racing operators while the store loses, drops and delays answers
    Then whatever happens to the calls each report agrees with what the store holds

  # Guards against an outcome reported as unknown although reading the store would settle it.
  Scenario Outline: A single lost answer is settled
    Then a write with the fate <fate> takes effect once and reports version 1

    Examples:
      | fate    |
      | lost    |
      | dropped |
      | late    |

  # Guards against an outcome determined by the mark alone after later writes replaced it.
  Scenario Outline: Others write twice before the object is read back
    Then a submission with the fate <fate>, followed up to version 2 by others on the <first> text, is reported as <report>

    Examples:
      | fate    | first | report         |
      | lost    | own   | Submitted      |
      | dropped | other | SubmitConflict |

  # Guards against a lost update by an operator who edited an outdated declaration.
  Scenario: A text edited from an older revision
    Then a text edited from an older revision is refused with the paths that differ

  # Guards against a misreported lost response with the HTTP client and the store's stand-in.
  Scenario: A lost answer of the stand-in
    Then a submission whose answer the stand-in loses is reported as submitted

  # Guards against a confirmed submission that hosts ignore, since they hold a lost record above it.
  Scenario Outline: A submission after the store came back from a copy
    Then a submission is in force on a host after the store lost the last <lost> of 3 submissions

    Examples:
      | lost |
      | 1    |
      | 2    |
      | 3    |

Feature: A host never reverts to an older record

  # Guards against a delayed or duplicated announcement that reverts to an old declaration.
  Scenario: Offers in any order
    Then after any order of offers the number has only risen to the highest good one

  # Guards against an invalid record that removes the current declaration or floods the log.
  Scenario: A record that does not parse
    Then a bad record is refused, logged once for its version, and the last good one stays

  # Guards against a record with a higher number but an older accepted revision.
  Scenario: A record with a lower accepted revision
    Then a record with a lower accepted revision is refused

  # Guards against hosts that select different callers for a trial, or a wrong share of them.
  Scenario: Callers on trial
    Then about 20 percent of the callers get a candidate with share 0.2, the same on each host

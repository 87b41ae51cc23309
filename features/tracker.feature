Feature: A host never goes back to an older record

  # Guards against a late or doubled announcement that brings back an old declaration.
  Scenario: Offers in any order
    Then after any order of offers the number has only risen to the highest good one

  # Guards against a bad record that takes the declaration away or fills the log.
  Scenario: A record that does not parse
    Then a bad record is refused, logged once for its version, and the last good one stays

  # Guards against a higher number that carries an older accepted revision.
  Scenario: A record with a lower accepted revision
    Then a record with a lower accepted revision is refused

  # Guards against hosts that disagree on who is on trial, or a share that is not kept.
  Scenario: Callers on trial
    Then about 20 percent of the callers get a candidate with share 0.2, the same on each host

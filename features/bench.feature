Feature: Benchmarks with bounds

  Scenario: A figure beyond its bound fails the run and a comparison shows it
    # Guards against a regression that is printed but does not fail the build.
    Given an earlier benchmark run of which one figure doubled beyond its bound
    When the benchmarks are compared with it
    Then the benchmark run exits with 1 and the comparison shows the ratio 2.000

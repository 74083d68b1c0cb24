Feature: The documentation agrees with the code

  Scenario: The table of result codes names every code
    Then docs/RESULT_CODES.md has a row for each code, and no other

  Scenario: The settings reference names every setting
    Then docs/OPERATING.md and docs/POLICY.md name every setting

  Scenario: Every documented command and option exists
    Then each command in docs/OPERATING.md has the options shown

  Scenario: The starting commands of the operators' page run
    When the settings of the example cell are checked as the page says
    Then the example settings pass the check

  Scenario: Every relative link leads to a page
    Then each link in README.md leads to a file

  Scenario: The on-call page names every event
    Then docs/OPERATIONS.md names each event that a cell's processes log

"""Steps of mutants.feature."""

from pathlib import Path

from behave import then, when

from tools.build_binary import ROOT
from tools.mutants import MUTANTS


@when('the mutants are compared with the code')
def step_compare(context):
    context.unfit = [
        mutant.mechanism
        for mutant in MUTANTS
        if mutant.old not in Path(ROOT, mutant.file).read_text()
    ]
    context.without_feature = [
        mutant.mechanism for mutant in MUTANTS if not Path(ROOT, mutant.feature).exists()
    ]


@then('each replaces text that its file contains')
def step_fit(context):
    assert not context.unfit, context.unfit


@then('each runs a feature that exists')
def step_features(context):
    assert not context.without_feature, context.without_feature

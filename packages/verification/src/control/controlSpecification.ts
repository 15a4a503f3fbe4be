import type { ProtocolSpecification } from "../protocolSpecification.js";
import type { ControlBrokenRuleName } from "./controlBrokenRules.js";
import { CONTROL_BROKEN_RULES } from "./controlBrokenRules.js";
import type { ControlGuards } from "./controlGuards.js";
import type { ControlInvariantName } from "./controlInvariants.js";
import { controlViolatedBy } from "./controlInvariants.js";
import type { ControlSubject } from "./controlRule.js";
import type { ControlRuleName } from "./controlRules.js";
import { CONTROL_RULE_NAMES, controlStepsFrom } from "./controlRules.js";
import type { ControlScopeName } from "./controlScopes.js";
import { CONTROL_SCOPES, controlStartOf, LARGE_CONTROL_SCOPES } from "./controlScopes.js";
import type { ControlBounds, ControlState } from "./controlState.js";
import { formatControlSubject } from "./formatControlSubject.js";
import { executorRenamings } from "./renameExecutors.js";
import { CONTROL_GUARDS } from "./specifiedControlGuards.js";

/** The types of the specification of jobs of steps. */
export interface ControlTypes {
    readonly state: ControlState;
    readonly bounds: ControlBounds;
    readonly guards: ControlGuards;
    readonly rule: ControlRuleName;
    readonly subject: ControlSubject;
    readonly invariant: ControlInvariantName;
    readonly scope: ControlScopeName;
    readonly brokenRule: ControlBrokenRuleName;
}

/** The protocol of jobs of steps: sections 15.4 and 15.5 of the design. */
export const CONTROL_SPECIFICATION: ProtocolSpecification<ControlTypes> = {
    ruleNames: CONTROL_RULE_NAMES,
    advancing: new Set(["list", "place", "write", "repeatWrite", "order", "deliver", "finish", "endStopped"]),
    guards: CONTROL_GUARDS,
    brokenRules: CONTROL_BROKEN_RULES,
    scopes: CONTROL_SCOPES,
    largeScopes: LARGE_CONTROL_SCOPES,
    startOf: controlStartOf,
    stepsFrom: controlStepsFrom,
    violatedBy: controlViolatedBy,
    partsOf: ({ tick, store, controllers, executors, messages, history, faultsLeft }) => [
        tick,
        faultsLeft,
        store,
        history,
        ...controllers,
        ...executors,
        ...messages,
    ],
    renamings: executorRenamings,
    formatSubject: formatControlSubject,
};

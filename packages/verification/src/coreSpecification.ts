import type { BrokenRuleName } from "./brokenRules.js";
import { BROKEN_RULES } from "./brokenRules.js";
import { formatSubject } from "./formatSubject.js";
import type { Guards } from "./guards.js";
import { GUARDS } from "./guards.js";
import type { InvariantName } from "./modelInvariants.js";
import { violatedBy } from "./modelInvariants.js";
import type { Bounds, ModelState } from "./modelState.js";
import type { ProtocolSpecification } from "./protocolSpecification.js";
import { agentRenamings } from "./renameAgents.js";
import type { Subject } from "./rule.js";
import type { ScopeName } from "./scopes.js";
import { LARGE_SCOPES, SCOPES, startOf } from "./scopes.js";
import type { RuleName } from "./specification.js";
import { RULE_NAMES, stepsFrom } from "./specification.js";

/** The types of the core protocol's specification. */
export interface CoreTypes {
    readonly state: ModelState;
    readonly bounds: Bounds;
    readonly guards: Guards;
    readonly rule: RuleName;
    readonly subject: Subject;
    readonly invariant: InvariantName;
    readonly scope: ScopeName;
    readonly brokenRule: BrokenRuleName;
}

/** The core protocol: sections 8 and 9 of the design. */
export const CORE_SPECIFICATION: ProtocolSpecification<CoreTypes> = {
    ruleNames: RULE_NAMES,
    advancing: new Set([
        "fence",
        "reserve",
        "claim",
        "claimAnswerLost",
        "settleClaim",
        "deferClaim",
        "deliver",
        "finish",
        "conclude",
    ]),
    guards: GUARDS,
    brokenRules: BROKEN_RULES,
    scopes: SCOPES,
    largeScopes: LARGE_SCOPES,
    startOf,
    stepsFrom,
    violatedBy,
    partsOf: ({ store, jobs, holders, agents, messages, faultsLeft }) => [
        faultsLeft,
        store,
        ...jobs,
        ...holders,
        ...agents,
        ...messages,
    ],
    renamings: agentRenamings,
    formatSubject,
};

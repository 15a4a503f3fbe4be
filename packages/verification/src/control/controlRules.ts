import type { RuleStep } from "../protocolSpecification.js";
import type { ControlModel, ControlRule, ControlSubject, ControlSuccessor } from "./controlRule.js";
import { spendFault } from "./controlRule.js";
import type { ControlMessage, ControlMessageOf, ControlState } from "./controlState.js";
import { dropDeadOrders } from "./dropDeadOrders.js";
import { deliverLease, deliverStart, deliverStop, EXECUTOR_RULES } from "./executorRules.js";
import { deliverReport, LIST_RULES } from "./listRules.js";
import { ORDER_RULES } from "./orderRules.js";
import { ROLE_RULES } from "./roleRules.js";
import { deliverWrite, WRITE_RULES } from "./writeRules.js";

type Kind = ControlMessage["kind"];
type Delivery<K extends Kind> = (
    state: ControlState,
    message: ControlMessageOf<K>,
    model: ControlModel,
) => readonly ControlSuccessor[];

const DELIVERIES: { readonly [K in Kind]: Delivery<K>; } = {
    start: deliverStart,
    stop: deliverStop,
    lease: deliverLease,
    report: deliverReport,
    write: deliverWrite,
};

const deliver = (state: ControlState, message: ControlMessage, model: ControlModel): readonly ControlSuccessor[] =>
    (DELIVERIES[message.kind] as Delivery<Kind>)(state, message, model)
        .map(({ subject, state: next }) => ({ subject: { ...subject, message }, state: next }));

const without = (state: ControlState, message: ControlMessage): ControlState => ({
    ...state,
    messages: state.messages.filter(other => other !== message),
});

const MESSAGE_RULES = {
    deliver: (state, model) => state.messages.flatMap(sent => deliver(without(state, sent), sent, model)),
    // The agent sends an order again; the copy in flight takes effect later.
    repeat: (state, model) => {
        const next = spendFault(state);
        const starts = state.messages.filter(({ kind }) => kind === "start");
        return next === undefined ? [] : starts.flatMap(sent => deliver(next, sent, model));
    },
} satisfies Readonly<Record<string, ControlRule>>;

/** All rules of the protocol of jobs of steps, by name. */
export const CONTROL_RULES = {
    ...ROLE_RULES,
    ...WRITE_RULES,
    ...LIST_RULES,
    ...ORDER_RULES,
    ...EXECUTOR_RULES,
    ...MESSAGE_RULES,
};
export type ControlRuleName = keyof typeof CONTROL_RULES;
export const CONTROL_RULE_NAMES = Object.keys(CONTROL_RULES) as readonly ControlRuleName[];

/** One step of the protocol. */
export type ControlStep = RuleStep<ControlState, ControlSubject, ControlRuleName>;

/** All steps from a state under the named rules. */
export const controlStepsFrom = (
    state: ControlState,
    model: ControlModel,
    names: readonly ControlRuleName[],
): readonly ControlStep[] =>
    names.flatMap(rule =>
        CONTROL_RULES[rule](state, model)
            .map(({ subject, state: next }) => ({ rule, subject, state: dropDeadOrders(next, model) }))
    );

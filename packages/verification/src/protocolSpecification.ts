/** The types of one specification. */
export interface ProtocolTypes {
    readonly state: object;
    readonly bounds: object;
    readonly guards: object;
    readonly rule: string;
    readonly subject: object;
    readonly invariant: string;
    readonly scope: string;
    readonly brokenRule: string;
}

/** What rules depend on besides the state. */
export interface ModelOf<P extends ProtocolTypes> {
    readonly bounds: P["bounds"];
    readonly guards: P["guards"];
}

/** One step of a specification: a rule, what it concerns and the state that it leads to. */
export interface RuleStep<State, Subject, Rule> {
    readonly rule: Rule;
    readonly subject: Subject;
    readonly state: State;
}
export type StepOf<P extends ProtocolTypes> = RuleStep<P["state"], P["subject"], P["rule"]>;

/** One part of the protocol with bounds small enough to be explored exhaustively, or nearly so. */
export interface ScopeOf<Bounds, Rule> {
    readonly description: string;
    readonly bounds: Bounds;
    /** Rules that this scope leaves to others. */
    readonly without: readonly Rule[];
    /** Whether the run begins under a process that holds the role and with all jobs accepted. */
    readonly isReady: boolean;
}

/** A rule that is wrong on purpose, and the invariant that shows it. */
export interface BrokenRuleOf<Invariant, Scope, Guards> {
    readonly description: string;
    readonly violates: Invariant;
    /** Scope in which the counterexample is found. */
    readonly scope: Scope;
    readonly guards: Partial<Guards>;
}

/** A protocol as the explorer sees it: states, rules over them, invariants, scopes and rules broken on purpose. */
export interface ProtocolSpecification<P extends ProtocolTypes> {
    readonly ruleNames: readonly P["rule"][];
    /** Rules that begin or advance work; the others mostly undo it, so walks that choose evenly get nowhere. */
    readonly advancing: ReadonlySet<P["rule"]>;
    /** The conditions that safety rests on; a broken rule replaces one of them. */
    readonly guards: P["guards"];
    readonly brokenRules: Readonly<
        Record<P["brokenRule"], BrokenRuleOf<P["invariant"], P["scope"], P["guards"]>>
    >;
    /** Scopes that CI explores. */
    readonly scopes: Readonly<Record<P["scope"], ScopeOf<P["bounds"], P["rule"]>>>;
    /** Scopes that only the bounds `large` add. */
    readonly largeScopes: Readonly<Record<string, ScopeOf<P["bounds"], P["rule"]>>>;
    readonly startOf: (scope: ScopeOf<P["bounds"], P["rule"]>) => P["state"];
    /** All steps from a state under the named rules. */
    readonly stepsFrom: (
        state: P["state"],
        model: ModelOf<P>,
        names: readonly P["rule"][],
    ) => readonly StepOf<P>[];
    /** The first invariant that a step violates. */
    readonly violatedBy: (before: P["state"], step: StepOf<P>, model: ModelOf<P>) => P["invariant"] | undefined;
    /** Parts of a state that together identify it; states share most of them with the state that they follow. */
    readonly partsOf: (state: P["state"]) => readonly (object | number)[];
    /** The state under all names that its interchangeable parts can have. */
    readonly renamings: (state: P["state"]) => readonly P["state"][];
    readonly formatSubject: (subject: P["subject"]) => string;
}

/** The model with all rules right, or with one broken. */
export const modelOf = <P extends ProtocolTypes>(
    { guards, brokenRules }: ProtocolSpecification<P>,
    broken: P["brokenRule"] | undefined,
    bounds: P["bounds"],
): ModelOf<P> => ({
    bounds,
    guards: { ...guards, ...(broken === undefined ? {} : brokenRules[broken].guards) },
});

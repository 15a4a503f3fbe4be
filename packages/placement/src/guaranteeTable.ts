import type { ClusterState, PlacedJobState, VmState } from "./clusterState.js";
import { unboundCapacity } from "./clusterState.js";
import type { ClusterView, GuaranteeBinding, VmView } from "./clusterView.js";
import type { BindRequest, BindResult } from "./guaranteeBinder.js";
import { bindInstances, bindRequests } from "./guaranteeBinder.js";
import type { GuaranteedInstance } from "./guaranteedInstance.js";
import { cellMembers, entitlementOn } from "./guaranteedInstance.js";
import type { UnmetGuarantee } from "./placementDecisions.js";
import type { MutableResources, Resources } from "./resources.js";
import { addResources } from "./resources.js";

const instanceKey = (team: string, name: string, instance: number): string => `${team}/${name}/${instance}`;

/** Guaranteed instances during a pass, with the cells that each is bound to and the job that uses it. */
export class GuaranteeTable {
    readonly byTeam = new Map<string, GuaranteedInstance[]>();
    readonly unmet: readonly UnmetGuarantee[];
    readonly #cluster: ClusterState;
    readonly #instances: GuaranteedInstance[] = [];

    constructor(cluster: ClusterState, view: ClusterView) {
        this.#cluster = cluster;
        const bindings = new Map(
            view.bindings.map(binding => [instanceKey(binding.team, binding.name, binding.instance), binding]),
        );
        const queuedIds = new Set(view.queued.map(({ jobId }) => jobId));
        const requests = bindRequests(
            view.guarantees,
            ({ team, name }, instance) => bindings.get(instanceKey(team, name, instance)),
            binding => this.#isInUse(binding),
        );
        const results = this.#bindAll(requests);
        for (const result of results) {
            this.#addInstance(result, queuedIds);
        }
        this.unmet = results
            .filter(({ isMet }) => !isMet)
            .map(({ request: { guarantee, instance } }) => ({ team: guarantee.team, name: guarantee.name, instance }));
    }

    /** Current bindings, in the order in which the instances were bound. */
    bindings(): readonly GuaranteeBinding[] {
        return this.#instances.map((instance): GuaranteeBinding => ({
            team: instance.guarantee.team,
            name: instance.guarantee.name,
            instance: instance.instanceIndex,
            cells: cellMembers(instance),
            ...(instance.jobId === undefined ? {} : { jobId: instance.jobId }),
        }));
    }

    /** Binds an idle instance to other cells. */
    rebind(instance: GuaranteedInstance, cells: readonly VmState[]): void {
        this.#addEntitlements(instance, instance.cells, -1);
        instance.cells = cells;
        this.#addEntitlements(instance, cells, 1);
    }

    /** Assigns an instance to a job of the owning team that uses the given cells of it. */
    assignJob(instance: GuaranteedInstance, jobId: string, vms: readonly VmState[], demand: Resources): void {
        instance.jobId = jobId;
        for (const vm of vms) {
            addResources(vm.idleBound, demand, -1);
        }
    }

    /** Withdraws an instance from the job that uses it; the job keeps running in the cells as a borrower. */
    unassignJob(instance: GuaranteedInstance, { allocations }: PlacedJobState): void {
        instance.jobId = undefined;
        for (const { vm, resources } of allocations) {
            addResources(vm.idleBound, resources);
        }
    }

    /** Reverts `unassignJob`. */
    reassignJob(instance: GuaranteedInstance, { job, allocations }: PlacedJobState): void {
        instance.jobId = job.jobId;
        for (const { vm, resources } of allocations) {
            addResources(vm.idleBound, resources, -1);
        }
    }

    /** Binds all instances. A job whose instance cannot keep its cells no longer uses it, and binding is repeated. */
    #bindAll(requests: readonly BindRequest[]): readonly BindResult[] {
        for (const { previous, isInUse } of requests) {
            const placedJob = isInUse ? this.#jobUsing(previous) : undefined;
            if (placedJob !== undefined) {
                this.#cluster.markGuaranteed(placedJob);
            }
        }
        const bindable = { vms: this.#cluster.vms.map(({ vm }) => vm), bindableOn: this.#bindableOn };
        const results = bindInstances(bindable, requests);
        const displaced = results.filter(({ request, isKept }) => request.isInUse && !isKept);
        if (displaced.length === 0) {
            return results;
        }
        for (const { request } of displaced) {
            const placedJob = this.#jobUsing(request.previous);
            if (placedJob !== undefined) {
                this.#cluster.unmarkGuaranteed(placedJob);
            }
        }
        const displacedRequests = new Set(displaced.map(({ request }) => request));
        return this.#bindAll(
            requests.map(request => displacedRequests.has(request) ? { ...request, isInUse: false } : request),
        );
    }

    #jobUsing(previous: GuaranteeBinding | undefined): PlacedJobState | undefined {
        return previous?.jobId === undefined ? undefined : this.#cluster.placedById.get(previous.jobId);
    }

    #isInUse({ jobId, team, cells }: GuaranteeBinding): boolean {
        const placed = jobId === undefined ? undefined : this.#cluster.placedById.get(jobId);
        return placed !== undefined && !placed.stopping && placed.job.spec.team === team
            && placed.job.members.every(member =>
                cells.some(({ vmId, accelerators }) => vmId === member.vmId && accelerators >= member.accelerators)
            );
    }

    readonly #bindableOn = (view: VmView, position: number): MutableResources => {
        const vm = this.#cluster.vms[position];
        if (vm === undefined) {
            throw new RangeError(`VM ${view.vmId} is not part of this cluster.`);
        }
        return unboundCapacity(vm);
    };

    #addInstance({ request, positions }: BindResult, queuedIds: ReadonlySet<string>): void {
        if (positions === undefined) {
            return;
        }
        const { guarantee, instance, previous, isInUse } = request;
        const cells = positions.flatMap(position => this.#cluster.vms[position] ?? []);
        const added: GuaranteedInstance = { guarantee, instanceIndex: instance, cells, jobId: undefined };
        this.#addEntitlements(added, cells, 1);
        this.#instances.push(added);
        const teamInstances = this.byTeam.get(guarantee.team) ?? [];
        this.byTeam.set(guarantee.team, teamInstances);
        teamInstances.push(added);
        const jobId = previous?.jobId;
        if (jobId !== undefined && (isInUse || queuedIds.has(jobId))) {
            added.jobId = jobId;
            for (const { vm, resources } of isInUse ? this.#cluster.placedById.get(jobId)?.allocations ?? [] : []) {
                addResources(vm.idleBound, resources, -1);
            }
        }
    }

    #addEntitlements({ guarantee: { shape } }: GuaranteedInstance, cells: readonly VmState[], sign: 1 | -1): void {
        for (const cell of cells) {
            const entitlement = entitlementOn(shape, cell.vm);
            addResources(cell.bound, entitlement, sign);
            addResources(cell.idleBound, entitlement, sign);
        }
    }
}

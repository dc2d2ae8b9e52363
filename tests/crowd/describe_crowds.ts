import { expect } from "chai";
import { waitFor } from "../integration/wait_for.ts";
import { CrowdDeployment } from "./crowd_deployment.ts";
import type { CrowdPlan } from "./crowd_plan.ts";

/** Reserved for files, of all descriptors of a process. */
const fileDescriptors = 200;
const timeoutMs = 90_000;

interface CrowdCase {
  readonly name: string;
  readonly role: "entry" | "sidecar";
  readonly listener: "front" | "ready" | "control" | "metrics" | "peers";
  readonly plan: CrowdPlan;
  readonly ordinary: (address: string) => Promise<boolean>;
  readonly maxFds?: number;
  /** Whether the store answers nothing while the crowd arrives. */
  readonly isStoreHung?: boolean;
}

/**
 * Tests that a process survives each crowd within its limits, and that others
 * are answered while the crowd is still connected.
 */
export function describeCrowds(
  title: string,
  cases: readonly CrowdCase[],
): void {
  describe(title, function () {
    this.timeout(timeoutMs);
    for (const each of cases) {
      const { name, role, listener, plan, ordinary, maxFds } = each;
      it(`${role}, ${listener}: ${name}`, async () => {
        const deployment = await CrowdDeployment.start(role, maxFds);
        const { process, limits, store } = deployment;
        const address = deployment[listener];
        try {
          await waitFor("the process", () => ordinary(address));
          store.isHung = each.isStoreHung ?? false;
          await deployment.receive(address, plan);
          store.isHung = false;
          await waitFor(
            "an answer",
            async () => process.end !== undefined || await ordinary(address),
          );
          process.measure();
          const { end, peakMb, peakDescriptors } = process;
          expect({ end }).to.eql({ end: undefined });
          expect(peakMb, "MB").to.be.at.most(limits.memoryMb);
          expect(peakDescriptors, "descriptors")
            .to.be.at.most(limits.maxFds - fileDescriptors);
        } finally {
          await deployment.close();
        }
      });
    }
  });
}

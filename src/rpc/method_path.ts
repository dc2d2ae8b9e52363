import type { DescMethod } from "@bufbuild/protobuf";

/** The URL path of a method in the Connect protocol. */
export function methodPath(method: DescMethod): string {
  return `/${method.parent.typeName}/${method.name}`;
}

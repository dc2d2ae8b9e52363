/** How much a filler image presses on a service image of the same worker. */
export type Pressure = readonly [
  service: string,
  filler: string,
  pressure: number,
];

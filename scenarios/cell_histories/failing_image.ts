/** The image of services whose runs fail by themselves. */
export const failingImage = "failing";

const ENV_PREFIX = 'KNAPWEEDSHUNT_'

/** Flag name of a setting: `platformUrl` gives `platform-url`. */
export function nameFlag (key: string): string {
  return key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/** Environment variable of a setting: `platformUrl` gives `KNAPWEEDSHUNT_PLATFORM_URL`. */
export function nameVariable (key: string): string {
  return ENV_PREFIX + nameFlag(key).replaceAll('-', '_').toUpperCase()
}

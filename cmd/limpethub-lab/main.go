// Command limpethub-lab is built in a later commit.
package main

func main() {}
